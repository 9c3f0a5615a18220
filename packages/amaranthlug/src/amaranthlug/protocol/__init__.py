"""Life of a request: parse, admit, choose, dispatch and relay."""
