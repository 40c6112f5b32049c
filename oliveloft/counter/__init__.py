"""The client of the counter service that gatekeepers share."""
