"""The node beside one backend server: the lean path of calls, and what nodes share."""
