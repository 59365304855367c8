package follower
