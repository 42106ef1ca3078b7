"""Who carries attempts out: the proxy that asked, or we ourselves."""
