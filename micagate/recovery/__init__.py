"""What a gateway keeps for its next life, what of that it believes, and in which order it serves again. Pure."""
