"""What outlives the process: a log on disk that is never on a request's way."""
