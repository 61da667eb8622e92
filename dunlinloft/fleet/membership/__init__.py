"""Membership after SWIM and Lifeguard; `docs/membership.md` says what is kept, changed and why."""
