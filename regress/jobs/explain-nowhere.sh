cf explain gate-desk
