"""Entry queues, demand, retry budgets, rendezvous hashing and crash suspects."""
