package agent
