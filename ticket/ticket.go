package ticket
