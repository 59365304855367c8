package balancer
