"""Decision logic without I/O: state, messages and time in, actions out."""
