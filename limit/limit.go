package limit
