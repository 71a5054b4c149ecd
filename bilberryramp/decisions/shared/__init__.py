"""What several roles share: charts, types of messages, tables and views."""
