"""What operators ask of a running gateway: workers out for maintenance, clients sent away. Pure."""
