package main

func evacuationWithdrawn(s *system, trouble bool) (bool, error) { return false, nil }
