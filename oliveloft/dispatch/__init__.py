"""The dispatcher: connects the front end and the back end with the gateway that decides."""
