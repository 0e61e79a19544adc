"""The entry: accepts jobs over HTTP and dispatches their tasks to agents.

The modules directly in this package serve the project's own HTTP interface
(`/v1/jobs`). A submission id has one owner among the entries, and a task of
this interface is never started twice. Two subpackages serve the users'
platform (see `fulmarscale.platform`) instead: `jobs` dispatches jobs whose
tasks may run again, and `durable` stores durable jobs. They share no classes
with the modules here, though some have the same names. Both interfaces use
the platform's table and time; they differ in who submits the jobs.
"""
