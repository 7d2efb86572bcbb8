grpc {
