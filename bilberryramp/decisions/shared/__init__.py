"""Charts, message types, tables and views that several roles use."""
