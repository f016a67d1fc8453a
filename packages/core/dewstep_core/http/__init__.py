"""HTTP/1.1 client and server built on asyncio and h11."""
