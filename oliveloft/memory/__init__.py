"""Records that outlive the process: an append-only log on disk, written in the background of request handling."""
