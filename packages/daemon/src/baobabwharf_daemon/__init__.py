"""Run the baobabwharfd daemon, whose tasks own sockets, files and state."""

VERSION = '0.1.0'
