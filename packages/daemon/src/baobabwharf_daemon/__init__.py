"""The baobabwharfd daemon: tasks that own sockets, files and state."""

VERSION = '0.1.0'
