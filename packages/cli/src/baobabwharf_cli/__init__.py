"""The baobabwharf operator command line over the operator HTTP interface."""
