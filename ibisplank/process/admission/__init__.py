"""Which calls a customer's contract lets in, and which may run."""
