package route
