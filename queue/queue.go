package queue
