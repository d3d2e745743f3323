package main

import "syscall"

const (
	stopSignal      = syscall.SIGSTOP
	continueSignal  = syscall.SIGCONT
	terminateSignal = syscall.SIGTERM
)
