"""Feed spoiled messages to every boundary where input arrives."""
