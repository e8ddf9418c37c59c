"""Control state of a member: roster, configuration, probes and suspects."""
