"""The platform's services, met through their published HTTP interface."""
