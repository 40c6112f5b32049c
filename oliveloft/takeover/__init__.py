"""One process takes another's place: state, listening and connections go over a Unix socket in $TMPDIR."""
