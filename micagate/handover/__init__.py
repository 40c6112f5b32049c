"""What a gateway knows, given to the process that takes its place. Pure."""
