package main

import "gentianstep.example/gentianstep/internal/operating/starter"

func newControllerCommand() command {
	return newProcessCommand("controller", "Watch the bundle and the upstreams for the routers.", starter.RunController)
}
