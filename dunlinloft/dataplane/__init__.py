"""The data plane: takes clients' requests, forwards them to servers, and answers."""
