package pollencheck

// conflicts reports what Document.Check and Declaration.Check refuse: names and
// addresses that are used twice, references to what is not declared, and limits
// that are not valid together.
func conflicts(in *Input) []Finding { return in.conflicts }
