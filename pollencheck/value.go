package pollencheck

// invalidValues reports texts that cannot be read, and values that are missing,
// unknown or out of range.
func invalidValues(in *Input) []Finding { return in.values }
