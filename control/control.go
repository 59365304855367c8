package control
