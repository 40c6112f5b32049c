"""Transfer of a gateway's state to the process that replaces it (hot restart). No I/O."""
