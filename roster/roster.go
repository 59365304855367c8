package roster
