package packet
