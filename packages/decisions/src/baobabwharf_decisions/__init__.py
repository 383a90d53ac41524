"""Pure decision logic: state, message and time in; state and actions out."""
