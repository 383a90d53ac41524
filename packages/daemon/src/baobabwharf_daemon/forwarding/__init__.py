"""Send requests to endpoints; forward them at most once to another VM."""
