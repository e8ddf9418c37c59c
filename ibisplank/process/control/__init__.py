"""What a member knows of its peers, of servers, and of deadly requests."""
