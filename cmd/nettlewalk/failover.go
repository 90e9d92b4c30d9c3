package main

import "nettlewalk.example/nettlewalk/internal/failover"

func (h *host) joinFailover() { h.failover = &failover.Monitor{Store: h.store, Dir: h.directory} }
