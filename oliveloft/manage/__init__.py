"""The operators' interface: one call per connection, as a line of text, answered by one line."""
