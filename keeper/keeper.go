package keeper
