"""The daemon that joins the parts on one event loop."""
