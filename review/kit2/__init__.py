"""Stand-ins and helpers that the cases 6 to 10 of the review share; standard library only."""
