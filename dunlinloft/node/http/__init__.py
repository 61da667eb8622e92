"""HTTP server for clients, HTTP connections to servers, request bodies and handover between processes."""
