"""The baobabwharfd daemon: tasks that own sockets, files and state."""
