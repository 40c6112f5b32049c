"""Hot restart: a successor process receives state and connections over a Unix socket in $TMPDIR, and serves."""
