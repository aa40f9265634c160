package main

import "gentianstep.example/gentianstep/internal/operating/starter"

func newRouterCommand() command {
	return newProcessCommand("router", "Serve callers.", starter.RunRouter)
}
