"""What is spoken: stream lines, the HTTP client, datagrams. Nothing here decides and nothing here keeps tables."""
