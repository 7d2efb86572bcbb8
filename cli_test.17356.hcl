grpc {
 lisen = 1
}
